Feature: Publishing to separate processes
  Scenario: The publisher sees the roll-out by zone, its limit and a lost race
    Given the platform and an entry instance in each of 2 zones
    When ana publishes and waits
    Then the command ends with 0 and shows both zones done
    When one entry instance is frozen and ana publishes and waits
    Then the command ends with 3 and names the frozen one
    When beto publishes from version 1
    Then the command ends with 4 and names ana
