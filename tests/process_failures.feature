Feature: Failures of whole processes
  Each request is answered once and truthfully, whichever process fails.

  Scenario: A keyed request is not run again after its entry instance is killed
    Given a fleet of 2 entry instances that serves "feldkirch"
    And the executors take 3 seconds for a request
    When "entry-0" is killed while it waits for the answer to key "order-1"
    Then "entry-1" tells the repeat of key "order-1" that the outcome is "unknown"
    And key "order-1" was run 1 times

  Scenario: A keyed request is not run again while its entry instance is frozen
    Given a fleet of 2 entry instances that serves "feldkirch"
    And the executors take 1 seconds for a request
    When "entry-0" is frozen while it waits for the answer to key "order-2"
    Then "entry-1" tells the repeat of key "order-2" that the outcome is "unknown"
    And after it resumes, "entry-0" answers its own caller
    And key "order-2" was run 1 times

  Scenario: A planned stop interrupts no request, also when it is asked twice
    Given a fleet of 1 entry instances that serves "feldkirch"
    And the executors take 4 seconds for a request
    When "entry-0" is asked twice to stop while a request runs
    Then the request is answered and the exit status is 0

  Scenario: The platform's outage does not stop the serving of requests
    Given a fleet of 2 entry instances that serves "feldkirch"
    When the platform goes down
    Then "entry-0" answers requests to "feldkirch"
    And "entry-1" refuses a keyed request to "feldkirch" as "not-run"

  Scenario: A published version comes into force though its publisher is killed
    Given a fleet of 2 entry instances that serves "feldkirch"
    When "entry-1" is frozen and the publisher of version 2 is killed after the swap
    Then "entry-0" has version 2 in force
    And after it resumes, "entry-1" takes version 2 and neither goes back
