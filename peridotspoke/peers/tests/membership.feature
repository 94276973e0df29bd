Feature: Failure detection of processes
  Ages are counted on the local monotonic clock. Each row is one sequence of events.

  Scenario Outline: The state of a process follows from the events
    Given entry "e2" of incarnation 5 heard at second 0
    When <events>
    Then at second <second> "e2" is <state>

    Examples:
      | events                                  | second | state   |
      | nothing happens                         | 14     | alive   |
      | nothing happens                         | 16     | suspect |
      | nothing happens                         | 46     | gone    |
      | a call to it fails at 3                 | 3      | suspect |
      | a call to it fails at 3, it answers at 4| 5      | alive   |
      | it is listed at 1                       | 46     | suspect |
      | it is listed at 1, unlisted at 2        | 10     | alive   |
      | it is listed at 1, unlisted at 46       | 46     | gone    |
      | incarnation 6 answers at 20             | 21     | alive   |
      | it vanishes at 46, a peer names it at 47| 47     | gone    |
      | it vanishes at 46, incarnation 6 named at 47 | 47 | alive   |
      | it vanishes at 46, it answers at 47     | 47     | alive   |

  Scenario Outline: A view from an invalid sender changes nothing
    Given entry "e2" of incarnation 5 heard at second 0
    When a view of "<name>" incarnation <incarnation> comes at second 20
    Then it is refused for its <field> and "e2" is still suspect

    Examples:
      | name | incarnation | field       |
      | e1   | 9           | sender      |
      | e2   | 4           | incarnation |

  Scenario: Peers are contacted in turn, those without the latest news first
    Given entries "e2,e3,e4" heard at second 0
    When they are contacted one after the other from second 1
    Then the order was "e2,e3,e4,e2"
    And after news at second 5 those not contacted since come first
