Feature: Decisions on pools
  Decisions on permits, drains, maintenance windows and adoption.

  An entry instance reports "seen N" if it uses the draining record and has N
  requests in flight to the instance, and "unseen N" if it uses an older record. A
  "silent" one does not answer, a "vanished" one does not answer and is no longer a
  member, and an "early" one answered only before the drain was announced.

  Scenario Outline: A permit is granted only within the availability budget
    Given a pool of 8 in <racks> racks that needs <need>
    And the instances <out> are out by <cause>
    When a permit for <wanted> is requested on a view of age <age>
    Then it is <decision>

    Examples:
      | racks | need | out         | cause   | wanted | age | decision                 |
      | 4     | 4    | none        | nothing | i0000  | 0   | granted                  |
      | 4     | 4    | i0001       | permit  | i0000  | 0   | granted                  |
      | 4     | 4    | i0001       | failure | i0000  | 0   | granted                  |
      | 4     | 4    | i0002       | failure | i0000  | 0   | refused: racks would     |
      | 4     | 4    | i0002       | permit  | i0000  | 0   | refused: racks would     |
      | 4     | 4    | i0002       | phase   | i0000  | 0   | refused: racks would     |
      | 4     | 4    | i0000       | permit  | i0000  | 0   | refused: out already     |
      | 1     | 4    | i0001,i0002 | failure | i0000  | 0   | refused: max_unavailable |
      | 1     | 4    | i0001,i0002 | permit  | i0000  | 0   | refused: max_unavailable |
      | 4     | 8    | none        | nothing | i0000  | 0   | refused: need 8          |
      | 4     | 6    | none        | nothing | i0000  | 0   | granted                  |
      | 8     | 6    | i0001       | nothing | i0000  | 0   | granted                  |
      | 8     | 7    | none        | nothing | i0000  | 0   | granted                  |
      | 4     | 5    | i0001       | permit  | i0000  | 0   | refused: loss of a rack  |
      | 4     | 4    | none        | nothing | i0000  | 91  | refused: old             |
      | 4     | 4    | none        | nothing | i0000  | inf | refused: old             |

  Scenario Outline: A drain waits for every entry instance
    Given an instance of zone x that has been draining for <since> seconds
    And entry instances that report <near> in zone x and <far> in zone y
    When the drain is decided
    Then the verdict is <verdict>

    Examples:
      | since | near     | far      | verdict   |
      | 1     | seen 0   | seen 0   | empty     |
      | 1     | seen 1   | seen 0   | wait      |
      | 1     | seen 0   | seen 2   | wait      |
      | 1     | unseen 0 | seen 0   | wait      |
      | 60    | unseen 0 | seen 0   | wait      |
      | 60    | seen 1   | seen 0   | wait      |
      | 2     | silent   | seen 0   | wait      |
      | 4     | silent   | seen 0   | give back |
      | 14    | seen 0   | silent   | wait      |
      | 16    | seen 0   | silent   | empty     |
      | 16    | silent   | silent   | give back |
      | 16    | seen 1   | silent   | wait      |
      | 14    | seen 0   | vanished | wait      |
      | 16    | seen 0   | vanished | empty     |
      | 4     | vanished | seen 0   | give back |
      | 1     | early    | seen 0   | wait      |

  Scenario Outline: Planned work starts only in a zone whose entry instances respond
    Given an instance of zone x that has been draining for 0 seconds
    And entry instances that report <near> in zone x and <far> in zone y
    Then zone x is <state>

    Examples:
      | near     | far    | state        |
      | seen 0   | silent | responsive   |
      | silent   | seen 0 | unresponsive |
      | vanished | seen 0 | unresponsive |
      | none     | seen 0 | unresponsive |

  Scenario Outline: Windows are daily times in UTC
    Then the window <window> is <state> at <time> and opens next at <opening>

    Examples:
      | window      | time  | state  | opening |
      | 03:00-09:00 | 02:59 | closed | 03:00   |
      | 03:00-09:00 | 03:00 | open   | 03:00   |
      | 03:00-09:00 | 08:59 | open   | 08:59   |
      | 03:00-09:00 | 09:00 | closed | 27:00   |
      | 20:00-04:00 | 23:59 | open   | 23:59   |
      | 20:00-04:00 | 00:00 | open   | 00:00   |
      | 20:00-04:00 | 04:00 | closed | 20:00   |
      | 00:00-23:59 | 23:59 | closed | 24:00   |
      | 05:00-05:00 | 05:00 | closed | never   |

  Scenario Outline: Late maintenance is forecast before it is due
    Given <due> instances maintained <days> days ago, 600 seconds each
    When the forecast is made at <time> for the window 03:00-04:00
    Then <late> are late, the first at <earliest>

    Examples:
      | due | days | time  | late | earliest |
      | 2   | 21   | 03:30 | 0    | none     |
      | 2   | 27.9 | 03:30 | 0    | none     |
      | 2   | 27.9 | 04:30 | 2    | 27:10    |
      | 8   | 27   | 03:00 | 2    | 27:10    |

  Scenario: Adoption spreads each pool over racks and zones
    When 16 instances in 2 zones with 2 racks each are adopted
    Then each pool has its declared size and 2 in each rack

  Scenario: Surplus instances go to the spare pool
    When 20 instances in 2 zones with 2 racks each are adopted
    Then the spare pool has 12 instances
