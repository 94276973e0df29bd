Feature: Client of the key-value service
  The outcome of a change is reported as succeeded, as failed without effect or as
  unknown. Under every fault the reported outcome is true.

  Scenario Outline: A single swap reports its outcome correctly
    Given the platform's stand-in and its client
    And the fault "<fault>"
    When a record is created by a single swap
    Then the reported outcome is <outcome>
    And the record is <stored>

    Examples:
      | fault                | outcome     | stored  |
      | none                 | succeeded   | present |
      | server stopped       | unavailable | absent  |
      | platform down        | unknown     | absent  |
      | slow answers         | unknown     | present |
      | one answer lost      | unknown     | present |
      | delayed effect       | unknown     | present |
      | zone cut off         | unknown     | absent  |
      | oversized value      | rejected    | absent  |
      | revoked lease        | unavailable | absent  |
      | conflicting write    | conflict    | present |
      | malformed answers    | unknown     | absent  |

  Scenario Outline: A swap with a change note resolves lost answers
    Given the platform's stand-in and its client
    And the fault "<fault>"
    When a record is created by a swap with a change note
    Then the reported outcome is <outcome>
    And the record is <stored>

    Examples:
      | fault                | outcome     | stored  |
      | none                 | succeeded   | present |
      | server stopped       | unavailable | absent  |
      | platform down        | unknown     | absent  |
      | one answer lost      | succeeded   | present |
      | two answers lost     | succeeded   | present |
      | conflicting write    | conflict    | present |

  Scenario Outline: A followed prefix shows every change
    Given the platform's stand-in and its client
    And a process that follows a prefix
    When the platform's watches are <fault> and a record is <change>
    Then the process sees the record <change>

    Examples:
      | fault                 | change  |
      | healthy               | written |
      | silent                | written |
      | silent                | deleted |
      | dropped               | written |
      | dropped and compacted | written |
      | dropped and compacted | deleted |
      | down for a while      | written |
      | down for a while      | deleted |

  Scenario: An open watch counts as one call
    Given the platform's stand-in and its client
    And a process that follows a prefix
    When 20 records are written
    Then the process sees all of them
    And the stand-in has counted 1 watch

  Scenario: A decoding error names the key of the record
    Given a record whose value has an unexpected form
    Then its error names the key
