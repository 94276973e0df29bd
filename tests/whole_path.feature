Feature: End-to-end serving with separate processes
  A published declaration takes effect in every process, and a caller's request
  is run by an executor and answered in full.

  Scenario: Requests are served after a declaration is published
    Given the platform and 2 executors
    And 2 entry instances and a controller
    When an operator publishes a service named "feldkirch" with 2 instances
    Then each entry instance answers a request to "feldkirch" with the answer to that request
    And the audit trail lists the publication and the controller's changes

  Scenario: An invalid declaration is rejected
    Given the platform and 2 executors
    When an operator publishes a service named "Feldkirch!" with 2 instances
    Then the error names the file, the line, the value found and the expected form
    And no version is published
