Feature: The contract of the key-value service
  A caller of the service is told that a change was made, was not made, or that
  nobody knows; under each fault what it is told is true.

  Scenario Outline: One swap tells the truth
    Given the platform's stand-in and its adapter
    And a platform that is <fault>
    When a writer creates a record once
    Then the writer is told <told>
    And the record is <stored>

    Examples:
      | fault                | told        | stored  |
      | well                 | won         | present |
      | stopped              | unavailable | absent  |
      | down                 | unknown     | absent  |
      | slow                 | unknown     | present |
      | losing an answer     | unknown     | present |
      | late with an effect  | unknown     | present |
      | cut off              | unknown     | absent  |
      | full                 | refused     | absent  |
      | without the lease    | unavailable | absent  |
      | written by another   | conflict    | present |
      | babbling             | unknown     | absent  |

  Scenario Outline: A noted change resolves lost answers
    Given the platform's stand-in and its adapter
    And a platform that is <fault>
    When a writer makes a noted change
    Then the writer is told <told>
    And the record is <stored>

    Examples:
      | fault                | told        | stored  |
      | well                 | won         | present |
      | stopped              | unavailable | absent  |
      | down                 | unknown     | absent  |
      | losing an answer     | won         | present |
      | losing two answers   | won         | present |
      | written by another   | conflict    | present |

  Scenario Outline: A followed prefix shows each change
    Given the platform's stand-in and its adapter
    And a process that follows a prefix
    When the platform's watches are <fault> and a record is <change>
    Then the process sees the record <change>

    Examples:
      | fault                 | change  |
      | well                  | written |
      | muted                 | written |
      | muted                 | deleted |
      | dropped               | written |
      | dropped and compacted | written |
      | dropped and compacted | deleted |
      | down for a while      | written |
      | down for a while      | deleted |

  Scenario: A waiting watch counts as one call
    Given the platform's stand-in and its adapter
    And a process that follows a prefix
    When 20 records are written
    Then the process sees all of them
    And the stand-in has counted 1 watch

  Scenario: A record that does not parse is named
    Given a record whose value is not of the expected form
    Then its error names the key
