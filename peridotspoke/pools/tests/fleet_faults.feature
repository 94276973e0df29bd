Feature: Control of a fleet under faults
  Two controllers manage two pools of eight instances while faults are injected.
  Every change in the store's history and every reboot is checked: the planned
  disruptions of a pool stay within its availability budget and one rack, an
  instance is in exactly one pool, and no request is in flight to an instance when
  it is rebooted.

  Scenario Outline: A maintenance wave completes within the budget despite a fault
    Given two controllers, and every instance due for maintenance
    When <fault> while an instance is <phase>
    Then every instance is maintained, all serve and no rule was violated

    Examples: Controllers
      | fault                                      | phase     |
      | the owner is killed                        | permitted |
      | the owner is killed                        | draining  |
      | the owner is killed                        | empty     |
      | the owner is killed                        | rebooting |
      | the owner is killed                        | joining   |
      | the owner is partitioned for 120 s         | permitted |
      | the owner is partitioned for 120 s         | draining  |
      | the owner is partitioned for 120 s         | rebooting |
      | the owner is paused for 60 s before a swap | permitted |
      | the owner is paused for 60 s before a swap | draining  |
      | the owner is paused for 60 s before a swap | empty     |
      | both controllers act on an old view        | draining  |

    Examples: The platform
      | fault                                    | phase     |
      | the answers to the next 2 swaps are lost | permitted |
      | the answers to the next 2 swaps are lost | draining  |
      | the answers to the next 2 swaps are lost | empty     |
      | the service is down for 120 s            | permitted |
      | the service is down for 120 s            | draining  |
      | the service is down for 120 s            | rebooting |
      | the list lags by 60 s                    | draining  |
      | the list lags by 60 s                    | rebooting |
      | the list cannot be read for 120 s        | draining  |

    Examples: Entry instances
      | fault                                                       | phase    |
      | an entry instance of another zone is partitioned for 120 s  | draining |
      | an entry instance of the same zone is partitioned for 120 s | draining |
      | an entry instance of the same zone is killed for 120 s      | draining |
      | the longest requests are running                            | draining |

    Examples: Instances
      | fault                  | phase     |
      | it vanishes for 120 s  | draining  |
      | it vanishes for 120 s  | empty     |
      | it vanishes for 120 s  | rebooting |
      | it vanishes for 120 s  | joining   |
      | a rack fails for 300 s | draining  |
      | a rack fails for 300 s | rebooting |

  Scenario Outline: A move ends in exactly one pool despite a fault
    Given two controllers, and a move of one instance from left to right
    When <fault> while an instance is <phase>
    Then the instance serves in <pool> and no rule was violated

    Examples:
      | fault                                      | phase     | pool  |
      | the owner is killed                        | permitted | right |
      | the owner is killed                        | draining  | right |
      | the owner is killed                        | empty     | right |
      | the owner is killed                        | joining   | right |
      | the owner is partitioned for 120 s         | empty     | right |
      | the owner is paused for 60 s before a swap | empty     | right |
      | the answers to the next 2 swaps are lost   | empty     | right |
      | the service is down for 120 s              | joining   | right |
      | it vanishes for 120 s                      | empty     | right |
      | it vanishes for 120 s                      | joining   | right |
      | a rack fails for 300 s                     | draining  | left  |

  Scenario: A rack failure during a wave cancels the drain and stops the wave
    Given two controllers, and every instance due for maintenance
    When a rack fails for 300 s while an instance is draining
    Then the instance serves again within 10 s and nothing starts in its pool

  Scenario Outline: Two controllers request the last permit concurrently
    Given two controllers that both believe that they own a pool
    When both request a permit at once, the <order> swap first
    Then the pool has one disruption for each instance that is out, within its budget

    Examples:
      | order  |
      | first  |
      | second |

  Scenario Outline: An unused permit is fenced before it is returned
    Given two controllers, and <work>
    When the owner is paused for <seconds> s between the permit and the drain
    Then the paused controller's drain <outcome> and no rule was violated

    Examples:
      | work                                      | seconds | outcome       |
      | every instance due for maintenance        | 2       | takes effect  |
      | every instance due for maintenance        | 120     | has no effect |
      | a move of one instance from left to right | 2       | takes effect  |
      | a move of one instance from left to right | 120     | has no effect |

  Scenario Outline: Invalid input is rejected and changes no instance
    Given two controllers, and an idle fleet
    When the controllers receive <input> for 60 s
    Then it is counted as <kind>, no instance changes and the last valid value is kept

    Examples:
      | input                             | kind   |
      | a list with a duplicate instance  | list   |
      | a list that is not JSON           | list   |
      | an instance record without a pool | record |
      | a ledger that is not JSON         | record |

  Scenario Outline: Another controller takes over a pool within three lease durations
    Given two controllers, and an idle fleet
    When the owner of a pool is <fault>
    Then the other controller owns it within 18 s, and both never own it at once

    Examples:
      | fault       |
      | killed      |
      | paused      |
      | partitioned |

  Scenario: An idle fleet makes no calls to the service
    Given two controllers, and an idle fleet
    When 60 s pass
    Then the controllers have called the service 0 times

  Scenario: A pool with only the instances that it needs is still maintained
    Given two controllers that plan, and a pool that needs all its instances
    When every instance is due for maintenance
    Then every instance is maintained, all serve and no rule was violated

  Scenario Outline: Invalid usage is rejected, counted and causes no move
    Given two controllers that plan, and a pool that needs all its instances
    When each instance reports usage that is <fault> for 900 s
    Then it is counted as "<reason>" per pool and report, and no instance has moved

    Examples:
      | fault           | reason   |
      | negative        | negative |
      | missing         | missing  |
      | three hours old | too old  |
