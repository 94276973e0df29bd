Feature: State machine of a job
  Of two conflicting events exactly one takes effect, and the state shown to the
  caller is correct.

  Scenario Outline: Events change the state of a job
    Given a job that is <kind> and <phase>
    When it receives <event>
    Then the job is <after> and has run: <ran>

    Examples: cancellation and start conflict
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

    Examples: a job that may have run and is not idempotent is not started again
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

    Examples: stale and duplicate events are ignored
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

  Scenario: Attempts are limited when each worker is lost
    Given a job that is idempotent and queued
    When each of its attempts is lost
    Then the job is failed and has run: possibly
