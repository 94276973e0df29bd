Feature: Publishing a configuration
  Scenario: The publish command reports the roll-out by zone, a time-out and a conflict
    Given the platform and an entry instance in each of 2 zones
    When ana publishes and waits
    Then the command exits with 0 and shows the roll-out complete in both zones
    When one entry instance is paused and ana publishes and waits
    Then the command exits with 3 and names the paused entry instance
    When beto publishes and expects version 1
    Then the command exits with 4 and names ana
