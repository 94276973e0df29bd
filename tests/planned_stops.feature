Feature: Planned stops of instances interrupt no request
  Separate processes: a controller drains and reboots every instance of a pool while
  callers go on sending requests that can't be repeated.

  Scenario: A whole wave of maintenance under load
    Given a pool of 3 instances that have not been maintained for long
    And entry instances in two availability zones under a steady load
    When a controller maintains all 3 instances, which end at each reboot
    Then no request of the callers was interrupted
    And the audit trail tells each step of the maintenance of "i0" in order
