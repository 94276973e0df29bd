Feature: The whole path, as separate processes
  A published declaration takes effect in every process, and a caller's request
  reaches an executor and comes back whole.

  Scenario: A request is served end to end
    Given the platform and 2 executors
    And 2 entry instances and a controller
    When an operator publishes a service named "feldkirch" with 2 instances
    Then each entry instance answers a request to "feldkirch" with its own answer
    And the audit trail names the publication and the controller's decisions

  Scenario: A bad declaration changes nothing
    Given the platform and 2 executors
    When an operator publishes a service named "Feldkirch!" with 2 instances
    Then the operator is told the file, the line, what was found and what is expected
    And no version is published
