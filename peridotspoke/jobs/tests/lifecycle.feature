Feature: The life of a job
  Of two events that exclude each other one takes effect, and what the caller is
  told is true.

  Scenario Outline: An event about a job
    Given a job that is <kind> and <phase>
    When it is told <event>
    Then the job is <after> and has run: <ran>

    Examples: a cancellation against a start
      | kind           | phase            | event                 | after     | ran      |
      | not idempotent | queued           | cancel                | cancelled | no       |
      | not idempotent | queued           | cancel, start         | cancelled | no       |
      | not idempotent | queued           | start, cancel         | starting  | no       |
      | not idempotent | starting, cancel | never-started         | cancelled | no       |
      | not idempotent | starting, cancel | stopped               | cancelled | yes      |
      | not idempotent | starting, cancel | finished              | finished  | yes      |
      | not idempotent | starting, cancel | lost                  | unknown   | possibly |
      | idempotent     | starting, cancel | lost                  | unknown   | possibly |
      | idempotent     | starting, lost   | cancel                | cancelled | possibly |
      | idempotent     | running, failed  | cancel                | cancelled | yes      |
      | not idempotent | running          | finished, cancel      | finished  | yes      |

    Examples: a job that is possibly started and not idempotent never starts again
      | kind           | phase            | event                 | after     | ran      |
      | not idempotent | starting         | lost                  | unknown   | possibly |
      | not idempotent | starting         | lost, start           | unknown   | possibly |
      | not idempotent | running          | lost                  | unknown   | yes      |
      | not idempotent | running          | stopped               | unknown   | yes      |
      | not idempotent | running          | failed                | failed    | yes      |
      | not idempotent | running          | never-started         | running   | yes      |
      | not idempotent | starting         | never-started         | queued    | no       |
      | not idempotent | running          | checkpointed          | queued    | yes      |
      | idempotent     | starting         | lost                  | queued    | possibly |
      | idempotent     | running          | failed                | queued    | yes      |
      | idempotent     | running          | stopped               | queued    | yes      |

    Examples: stale and doubled events change nothing
      | kind       | phase                  | event              | after     | ran      |
      | idempotent | starting, lost         | finished           | queued    | possibly |
      | idempotent | starting, lost, again  | finished           | starting  | possibly |
      | idempotent | starting, lost, again  | never-started      | starting  | possibly |
      | idempotent | queued                 | finished           | queued    | no       |
      | idempotent | starting               | start              | starting  | no       |
      | idempotent | starting               | set-aside          | starting  | no       |
      | idempotent | running                | finished, lost     | finished  | yes      |
      | idempotent | running                | finished, finished | finished  | yes      |
      | idempotent | queued                 | set-aside, start   | set-aside | no       |

  Scenario: Lost workers don't let a job be tried for ever
    Given a job that is idempotent and queued
    When each of its attempts is lost
    Then the job is failed and has run: possibly
