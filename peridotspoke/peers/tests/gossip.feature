Feature: Peers exchange the configuration and leaving news
  The processes run on loopback with one platform. Each link refuses calls between
  zones that are cut off from each other.

  Scenario: A zone cut off from the platform still gets a new version
    Given entries "e1" in "a" and "e2" in "b", both with version 1
    When "b" is cut off from the platform and version 2 is published
    Then "e2" has version 2 in force
    And "e2" reports that the platform is unreachable and 1 peer is alive

  Scenario: A reconnected zone replaces its old version by the new one
    Given entries "e1" in "a" and "e2" in "b", both with version 1
    When "b" is cut off from all and version 2 is published
    Then "e1" has version 2 in force
    And "e2" stays at version 1
    When "b" reaches its peers again
    Then "e2" has version 2 in force
    And no process ever returned to an older version

  Scenario: An entry that starts in an outage takes the newest version that it can reach
    Given entries "e1" in "a" and "e2" in "b", both with version 1
    When "b" is cut off from all and version 2 is published
    Then "e1" has version 2 in force
    When the platform goes down and "e3" starts in "c" with both as seeds
    Then "e3" has version 2 in force
    And "e3" has taken only version 2

  Scenario: A process that starts in an outage reaches only a peer with the old version
    Given entries "e1" in "a" and "e2" in "b", both with version 1
    When "b" is cut off from all and version 2 is published
    Then "e1" has version 2 in force
    When the platform goes down and "e3" starts in "b" with both as seeds
    Then "e3" has version 1 in force
    And "e3" reports that the platform is unreachable and 1 peer is alive
    When "b" reaches its peers again
    Then "e3" has version 2 in force
    And no process ever returned to an older version

  Scenario: An entry that starts in an outage without peers is not ready
    Given entries "e1" in "a" and "e2" in "b", both with version 1
    When "a" is cut off from its peers
    And the platform goes down and "e3" starts in "a" with no seeds
    Then "e3" stays at version 0

  Scenario: News of leaving reaches a zone that is cut off from the platform
    Given entries "e1" in "a" and "e2" in "b", both with version 1
    When "b" is cut off from the platform
    And "e1" reads that "i1" leaves since epoch 5
    Then "e2" knows that "i1" leaves since epoch 5
    And "e2" has a view confirmed by "e1"
