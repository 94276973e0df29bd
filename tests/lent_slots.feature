Feature: Lent slots with whole processes
  The keeper of a zone's slots may be killed; another entry of the zone takes its
  place after all that it may have lent has ended.

  Scenario: The keeper is killed
    Given the platform and 2 executors
    And 2 entry instances with lent slots and a controller
    And a service named "feldkirch" with a time limit of 1 second
    When the keeper is killed
    Then the other entry instance serves again under a later epoch
