Feature: Plans hold needs and budgets at few moves

  Scenario Outline: What a plan does
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

  Scenario: Rival pools give in turn
    Given pools 8 8 8 8 8 with needs 7 7 7 7 4 and the spare last
    When 40 times the spare needs one instance more and later one less
    Then the pools' moves differ by at most 2

  Scenario Outline: Usage becomes a need
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

  Scenario Outline: Bad usage is left out and counted
    Given a declared need of 5 and 6 hours of usage at 3.0
    When a sample is <fault>
    Then it is counted as <reason> and the need stays

    Examples:
      | fault        | reason          |
      | -1.0         | negative        |
      | missing      | missing         |
      | nan          | not a number    |
      | 1e9          | too large       |
      | hours old    | too old         |
      | hours ahead  | from the future |
