Feature: The interface towards callers
  Bad input gets a problem document that names what was found and expected, slow
  callers hold nobody else, and a planned stop interrupts no request.

  Scenario Outline: Bad input changes nothing
    Given an entry instance
    When a caller sends <request>
    Then it is refused with status <status> and a detail that names <place>
    And no upstream saw a request

    Examples:
      | request                                         | status | place                    |
      | GET /feldkirch/a%zz                             | 400    | path: expected /         |
      | GET feldkirch/a                                 | 400    | request: expected HTTP   |
      | GET http://h/feldkirch/a                        | 400    | path: expected /         |
      | GET /Feldkirch!/a                               | 404    | service: expected        |
      | GET /other/a                                    | 404    | service: expected one of |
      | GET /feldkirch/{9000}                           | 414    | path: expected at most   |
      | GET /feldkirch/a, Request-Timeout: soon         | 400    | Request-Timeout: expected |
      | GET /feldkirch/a, Request-Timeout: -1           | 400    | Request-Timeout: expected |
      | GET /feldkirch/a, Request-Timeout: nan          | 400    | Request-Timeout: expected |
      | GET /feldkirch/a, Request-Timeout: 0            | 400    | Request-Timeout: expected |
      | POST /feldkirch/a, Idempotency-Key: {200}       | 400    | Idempotency-Key: expected |
      | POST /feldkirch/a, Idempotency-Key:             | 400    | Idempotency-Key: expected |
      | POST /feldkirch/a, Content-Length: 5000         | 413    | body: expected at most   |
      | POST /feldkirch/a, Content-Length: some         | 400    | request: expected HTTP   |
      | POST /feldkirch/a, Content-Length: 5            | 408    | body: expected the whole |
      | GET /feldkirch/a, X-Long: {20000}               | 431    | headers: expected        |
      | GET /feldkirch/a, X-Long: {70000}               | 400    | request: expected HTTP   |

  Scenario: Dot segments don't make a request idempotent
    Given an entry instance whose paths under /quote are idempotent
    When callers send POSTs to /quote/1, /quote/../order and /quoted over closing upstreams
    Then the upstreams saw 2, 1 and 1 of them

  Scenario: A caller that leaves while it waits is not run
    Given an entry instance with 1 slot whose requests run 0.3 s
    When a second caller leaves while it waits
    Then the upstreams saw 1 request in all

  Scenario: A caller that leaves while its request runs doesn't free the slot
    Given an entry instance with 1 slot whose requests run 0.3 s
    When the first caller leaves while its request runs and another asks
    Then at most 1 request ran at once
    And the other was answered

  Scenario: Bodies of slow callers don't take more than the memory for bodies
    Given an entry instance with memory for 2 bodies
    When 3 callers announce bodies and send nothing
    Then 1 of them is told not-run with Retry-After at once
    And a request without a body is answered

  Scenario: A planned stop interrupts no request
    Given an entry instance with 1 slot whose requests run 0.3 s
    When a stop is asked for while a request runs
    Then the entry is not ready at once
    And requests that come within the notice are answered
    And later ones are told not-run
    And what ran is answered
