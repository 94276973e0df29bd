Feature: A fleet under faults
  Two controllers keep two pools of eight while one thing after the other fails.
  Every change of the store's history and every reboot is checked: the planned
  disruptions of a pool stay within its budget and one rack, an instance is in one
  pool, and no request is in flight to an instance that is rebooted.

  Scenario Outline: A wave goes on and holds the budget
    Given two controllers, and every instance due for maintenance
    When <fault> while an instance is <phase>
    Then every instance is maintained, all serve and nothing was violated

    Examples: Controllers
      | fault                                       | phase     |
      | the owner is killed                         | permitted |
      | the owner is killed                         | draining  |
      | the owner is killed                         | empty     |
      | the owner is killed                         | rebooting |
      | the owner is killed                         | joining   |
      | the owner is cut off for 120 s              | permitted |
      | the owner is cut off for 120 s              | draining  |
      | the owner is cut off for 120 s              | rebooting |
      | the owner freezes for 60 s before a swap    | permitted |
      | the owner freezes for 60 s before a swap    | draining  |
      | the owner freezes for 60 s before a swap    | empty     |
      | both controllers act on an old view         | draining  |

    Examples: The platform
      | fault                             | phase     |
      | the next 2 swaps lose their answers | permitted |
      | the next 2 swaps lose their answers | draining |
      | the next 2 swaps lose their answers | empty    |
      | the service is down for 120 s     | permitted |
      | the service is down for 120 s     | draining  |
      | the service is down for 120 s     | rebooting |
      | the list lags by 60 s             | draining  |
      | the list lags by 60 s             | rebooting |
      | the list can't be read for 120 s  | draining  |

    Examples: Entry instances
      | fault                             | phase    |
      | an entry of another zone is cut off for 120 s | draining |
      | an entry of the same zone is cut off for 120 s | draining |
      | an entry of the same zone is killed for 120 s | draining |
      | the longest requests are running  | draining |

    Examples: Instances
      | fault                        | phase     |
      | it vanishes for 120 s        | draining  |
      | it vanishes for 120 s        | empty     |
      | it vanishes for 120 s        | rebooting |
      | it vanishes for 120 s        | joining   |
      | a rack fails for 300 s       | draining  |
      | a rack fails for 300 s       | rebooting |

  Scenario Outline: A move ends in exactly one pool
    Given two controllers, and a move of one instance from left to right
    When <fault> while an instance is <phase>
    Then the instance serves in <pool> and nothing was violated

    Examples:
      | fault                                    | phase     | pool  |
      | the owner is killed                      | permitted | right |
      | the owner is killed                      | draining  | right |
      | the owner is killed                      | empty     | right |
      | the owner is killed                      | joining   | right |
      | the owner is cut off for 120 s           | empty     | right |
      | the owner freezes for 60 s before a swap | empty     | right |
      | the next 2 swaps lose their answers      | empty     | right |
      | the service is down for 120 s            | joining   | right |
      | it vanishes for 120 s                    | empty     | right |
      | it vanishes for 120 s                    | joining   | right |
      | a rack fails for 300 s                   | draining  | left  |

  Scenario: A rack that fails during a wave stops it and brings back the drain
    Given two controllers, and every instance due for maintenance
    When a rack fails for 300 s while an instance is draining
    Then the instance serves again within 10 s and nothing starts in its pool

  Scenario Outline: The last permit is wanted twice
    Given two controllers that both believe that they own a pool
    When both take a permit at once, the <order> swap first
    Then the pool has one disruption for each instance that is out, within its budget

    Examples:
      | order  |
      | first  |
      | second |

  Scenario Outline: A permit without an operation is fenced off before it is returned
    Given two controllers, and <work>
    When the owner freezes for <seconds> s between the permit and the drain
    Then the frozen controller's drain <outcome> and nothing was violated

    Examples:
      | work                                   | seconds | outcome       |
      | every instance due for maintenance     | 2       | takes effect  |
      | every instance due for maintenance     | 120     | has no effect |
      | a move of one instance from left to right | 2    | takes effect  |
      | a move of one instance from left to right | 120  | has no effect |

  Scenario Outline: Bad input is told once and moves nothing
    Given two controllers, and a fleet at rest
    When the controllers meet <input> for 60 s
    Then it is counted as <kind>, no instance changes and the last good value is kept

    Examples:
      | input                             | kind   |
      | a list with a doubled instance    | list   |
      | a list that is not JSON           | list   |
      | an instance record without a pool | record |
      | a ledger that is not JSON         | record |

  Scenario Outline: Another controller takes a pool over within three lease units
    Given two controllers, and a fleet at rest
    When the owner of a pool is <fault>
    Then the other one owns it within 18 s, and never do both own it

    Examples:
      | fault   |
      | killed  |
      | frozen  |
      | cut off |

  Scenario: A fleet at rest costs no calls to the service
    Given two controllers, and a fleet at rest
    When 60 s pass
    Then the controllers have called the service 0 times

  Scenario: A pool that is brought down to its need is still maintained
    Given two controllers that plan, and a pool that needs all its instances
    When every instance is due for maintenance
    Then every instance is maintained, all serve and nothing was violated

  Scenario Outline: Faulty usage is left out, counted and moves nothing
    Given two controllers that plan, and a pool that needs all its instances
    When each instance reports usage that is <fault> for 900 s
    Then it is counted as "<reason>" and told once, and no instance has moved

    Examples:
      | fault           | reason   |
      | negative        | negative |
      | missing         | missing  |
      | three hours old | too old  |
