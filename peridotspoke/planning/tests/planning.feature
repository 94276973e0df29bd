Feature: Plans meet needs and budgets with few moves

  Scenario Outline: Moves of a plan
    Given pools <pools> with needs <needs> and the spare last
    And <out> instances of the first pool are <state>
    When a plan is made
    Then <moves> instances move <way>
    And the plan leaves <shortage> missing, <exposure> after the loss of a rack

    Examples:
      | pools | needs | out | state     | moves | way               | shortage | exposure |
      | 8 8 8 | 5 5 4 | 0   | out       | 4     | to the spare      | 0        | 0        |
      | 4 8 8 | 5 5 3 | 0   | out       | 1     | to the first pool | 0        | 0        |
      | 8 8 8 | 8 8 4 | 0   | out       | 0     | anywhere          | 0        | 0        |
      | 8 8 8 | 8 5 4 | 1   | out       | 1     | to the first pool | 0        | 1        |
      | 8 8 8 | 8 5 4 | 1   | returning | 2     | to the spare      | 0        | 0        |
      | 8 8 8 | 5 8 4 | 2   | out       | 0     | anywhere          | 0        | 0        |
      | 8 8 8 | 9 9 8 | 0   | out       | 0     | anywhere          | 2        | 6        |
      | 8 8 4 | 6 6 4 | 0   | out       | 4     | to the spare      | 0        | 0        |

  Scenario: Competing pools take turns as source of moves
    Given pools 8 8 8 8 8 with needs 7 7 7 7 4 and the spare last
    When the need of the spare rises and falls by one instance 40 times
    Then the pools differ by at most 2 moves

  Scenario Outline: A need is estimated from usage
    Given a declared need of <declared> and 6 hours of usage at <usage>
    Then the need is between <least> and <most>

    Examples:
      | declared | usage              | least | most |
      | 5        | 3.0                | 4     | 4    |
      | 1        | 3.0                | 3     | 4    |
      | 9        | 3.0                | 4     | 5    |
      | 4        | surges of 3.0      | 4     | 4    |
      | 4        | nothing reported   | 4     | 4    |
      | 4        | saturated 3.0      | 4     | 5    |

  Scenario Outline: Invalid usage samples are rejected and counted
    Given a declared need of 5 and 6 hours of usage at 3.0
    When a sample is <fault>
    Then it is rejected as <reason> and the need is unchanged

    Examples:
      | fault        | reason          |
      | -1.0         | negative        |
      | missing      | missing         |
      | nan          | not a number    |
      | 1e9          | too large       |
      | hours old    | too old         |
      | hours ahead  | from the future |
