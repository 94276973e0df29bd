Feature: Leaving upstreams
  The newest epoch decides, whichever source it came from. The platform's list lags
  behind.

  Scenario Outline: A leaving upstream gets no new work
    Given an entry of zone "a" whose view was confirmed at second 0
    And upstream "i1" of zone "a" serves at epoch 4 and is listed live
    When it learns: <news>
    Then at second <second> "i1" <outcome>

    Examples:
      | news                                              | second | outcome           |
      | nothing                                           | 1      | gets new work     |
      | record 5 drains                                   | 1      | gets no new work  |
      | peer says leaving 5                               | 1      | gets no new work  |
      | peer says leaving 5, list live                    | 30     | gets no new work  |
      | peer says leaving 5, record 4 serves              | 1      | gets no new work  |
      | peer says leaving 5, peer says returned 4         | 1      | gets no new work  |
      | peer says leaving 5, peer says returned 5         | 1      | gets no new work  |
      | peer says returned 5, peer says leaving 5         | 1      | gets no new work  |
      | peer says leaving 5, peer says returned 6         | 1      | gets new work     |
      | peer says leaving 5, record 6 serves              | 1      | gets new work     |
      | record 6 serves, peer says leaving 5              | 1      | gets new work     |
      | list leaving                                      | 1      | gets no new work  |
      | list leaving, record 6 serves                     | 1      | gets new work     |
      | list leaving, record 4 serves                     | 1      | gets no new work  |
      | list leaving, record 6 serves, list leaving again | 1      | gets no new work  |
      | upstream refuses                                  | 4      | gets no new work  |
      | upstream refuses                                  | 6      | gets new work     |

  Scenario Outline: Upstreams of other zones are used only with a recent view
    Given an entry of zone "a" whose view was confirmed at second 0
    And upstream "i1" of zone "<zone>" serves at epoch 4 and is listed live
    When it learns: <news>
    Then at second <second> "i1" <outcome>

    Examples:
      | zone | news           | second | outcome          |
      | b    | nothing        | 4      | gets new work    |
      | b    | nothing        | 5      | gets no new work |
      | a    | nothing        | 500    | gets new work    |
      | b    | view confirmed | 5      | gets new work    |

  Scenario: An entry that starts with an outdated list
    Given an entry of zone "a" that has read nothing
    When it reads a list that calls "i1" leaving, then record 9 that serves
    Then "i1" gets no new work until a newer epoch or the list says live

  Scenario: A peer with an outdated draining record is told of the return
    Given an entry of zone "a" whose view was confirmed at second 0
    And upstream "i1" of zone "a" serves at epoch 4 and is listed live
    When it learns: peer says leaving 3
    Then its news says that "i1" returned at epoch 4
