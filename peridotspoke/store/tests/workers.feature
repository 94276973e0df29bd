Feature: Client of a worker
  Every call is idempotent, and an attempt runs at most once.

  Scenario Outline: Sequences of calls to a worker
    Given a worker of incarnation 2
    When the calls are <calls>
    Then the last answer is <answer>
    And the task has run <runs> times

    Examples:
      | calls                               | answer      | runs |
      | start                               | none        | 1    |
      | start, start                        | none        | 1    |
      | late start                          | refused     | 0    |
      | stale start                         | lost        | 0    |
      | end                                 | refused     | 0    |
      | end, start                          | refused     | 0    |
      | start, end                          | stopped     | 1    |
      | start, checkpoint                   | checkpointed | 1   |
      | start, end, start                   | stopped     | 1    |
      | start, restart, end                 | lost        | 1    |
      | start, wait 3, exchange             | finished    | 1    |
      | start, wait 3, exchange, exchange   | finished    | 1    |
      | start, wait 3, confirm, exchange    | nothing     | 1    |
      | start, wait 3, confirm, start       | refused     | 1    |
      | long start, wait 6, exchange        | lapsed      | 1    |
      | long start, wait 4, exchange, wait 4, exchange | running | 1 |
      | answer lost, start                  | AnswerLostError | 1 |
      | answer lost, start, start           | none        | 1    |
      | silent, start                       | AnswerLostError | 0 |
      | stop worker, start                  | PlatformUnavailableError | 0 |
