Feature: Slot lending between entry instances
  One entry instance of each zone, the keeper, lends the zone's slots. If it is killed,
  another entry instance of the zone becomes keeper after every loan that the former
  keeper may have made has ended.

  Scenario: Another entry instance becomes keeper after the keeper is killed
    Given the platform and 2 executors
    And 2 entry instances that lend slots and a controller
    And a service named "feldkirch" with a time limit of 1 second
    When the keeper is killed
    Then the other entry instance serves requests as keeper with a higher epoch
