Feature: Scheduling and supervision of a pool's jobs
  Decisions of one controller in cases where the order of messages matters.

  Scenario Outline: Calls, reports or writes of a task are lost
    Given a job whose start is stored, and its start call is <call>
    When <event>
    Then the job is <phase> and has run <runs> times

    Examples:
      | call       | event                                                 | phase     | runs |
      | lost       | one second passes                                     | starting  | 1    |
      | lost       | it is cancelled and the call arrives late             | cancelled | 0    |
      | unanswered | the worker restarts and another controller takes over | unknown   | 1    |
      | delivered  | its end is reported but the write of it fails         | finished  | 1    |
      | delivered  | a controller without its batch receives its end       | finished  | 1    |

  Scenario Outline: A worker is drained
    Given a job that runs on a worker and <kind>
    When the worker takes no more jobs
    Then the job is <phase> and has run 1 times

    Examples:
      | kind                 | phase    |
      | supports checkpoints | queued   |
      | lacks checkpoints    | starting |

  Scenario Outline: Failures are attributed to jobs or to workers
    Given failures <failures>
    And successes <successes>
    Then worker "bad" is suspected: <worker>
    And a job that failed on w1, w2 and bad is set aside: <job>

    Examples:
      | failures                                                | successes | worker | job   |
      | a on bad, b on bad, c on bad                            | none      | True   | False |
      | a on bad, a on bad, a on bad                            | none      | False  | True  |
      | a on bad, a on w1, a on w2                              | none      | False  | True  |
      | a on bad, b on bad, c on bad, a on w1                   | a on w2   | True   | False |
      | a on bad, b on bad, c on bad                            | d on bad  | False  | True  |
      | a on bad, a on w1, b on bad, b on w1, c on bad, c on w1 | none      | False  | True  |

  Scenario Outline: Placement on two workers of 8 cores
    Given running <running>
    When <queued> are queued
    Then these start: <starts>
    And these are preempted: <stops>

    Examples:
      | running                            | queued                                  | starts | stops |
      | none                               | u1 urgent 8, m1 may-wait 8              | u1 m1  | none  |
      | none                               | m1 may-wait 8, n1 normal 8, u1 urgent 8 | u1 n1  | none  |
      | m1 may-wait 8 w1, n1 normal 8 w2   | u1 urgent 8                             | none   | m1    |
      | n1 normal 8 w1, n2 normal 8 w2     | u1 urgent 8                             | none   | none  |
      | m1 may-wait 4 w1, m2 may-wait 8 w2 | u1 urgent 4                             | u1     | none  |
      | m1 may-wait 8 w1, m2 may-wait 8 w2 | u1 urgent 9, m3 may-wait 1              | none   | none  |
      | m1 may-wait 2 w1, m2 may-wait 8 w2 | u1 urgent 8, m3 may-wait 1              | none   | m1    |
      | n1 normal 4 w1, n2 normal 8 w2     | n3 normal 8, m1 may-wait 2              | none   | none  |
