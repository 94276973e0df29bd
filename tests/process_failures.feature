Feature: Process failures
  Whichever process fails, each request is answered once and with its true outcome.

  Scenario: A keyed request is not rerun after its entry instance is killed
    Given a fleet of 2 entry instances that serves "feldkirch"
    And each request runs for 3 seconds
    When "entry-0" is killed while it waits for the answer to key "order-1"
    Then "entry-1" answers a retry with key "order-1" with the outcome "unknown"
    And key "order-1" was run 1 times

  Scenario: A keyed request is not rerun while its entry instance is paused
    Given a fleet of 2 entry instances that serves "feldkirch"
    And each request runs for 1 seconds
    When "entry-0" is paused while it waits for the answer to key "order-2"
    Then "entry-1" answers a retry with key "order-2" with the outcome "unknown"
    And after it resumes, "entry-0" answers its caller
    And key "order-2" was run 1 times

  Scenario: A planned stop interrupts no request, even if SIGTERM is sent twice
    Given a fleet of 1 entry instances that serves "feldkirch"
    And each request runs for 4 seconds
    When "entry-0" receives SIGTERM twice while a request runs
    Then the request is answered and the exit status is 0

  Scenario: Requests are served while the platform is down
    Given a fleet of 2 entry instances that serves "feldkirch"
    When the platform goes down
    Then "entry-0" answers requests to "feldkirch"
    And "entry-1" refuses a keyed request to "feldkirch" as "not-run"

  Scenario: A published version takes effect even if its publisher is killed
    Given a fleet of 2 entry instances that serves "feldkirch"
    When "entry-1" is paused and the publisher of version 2 is killed after its commit
    Then version 2 is in force on "entry-0"
    And after "entry-1" resumes, it takes version 2 and no entry instance reverts
