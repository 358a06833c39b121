Feature: Taking a configuration
  An operator puts a whole configuration on top of the version that he knows. What is acknowledged is in force
  everywhere within two seconds, and stays.

  Background:
    Given a fleet of 3 control machines and 3 balancers
    And version 5 is in force

  Scenario: A new version
    When an operator puts version 7 on top of version 5
    Then it is acknowledged within 4 seconds
    And all balancers serve version 7 within 2 seconds
    And reading the configuration back gives version 7 as it was sent

  Scenario: The answer gets lost
    Given the operator does not hear the answer
    When he puts version 7 on top of version 5, again and again
    Then it is acknowledged within 4 seconds
    And version 7 was taken once

  Scenario: Two operators at once
    When two operators put versions 7 and 8 on top of version 5 at the same time
    Then one of them is acknowledged, and the other hears that another version is in place
    And all balancers serve the acknowledged one within 2 seconds

  Scenario Outline: An invalid configuration
    When an operator puts a configuration <that is wrong> on top of version 5
    Then it is turned away with a status of 400 and <a remedy>
    And all balancers still serve version 5

    Examples:
      | that is wrong                      | a remedy                                        |
      | that ends in the middle            | send the complete configuration                 |
      | with a route to an unknown service | add it to svcs or use a service that is in svcs |
      | with a deadline of 0               | make it above 0                                 |
      | with two routes at one place       | remove one of them                              |
      | with weights that sum to 0         | give at least one of them a finite wt above 0   |
      | with a version that is not above 5 | give it a higher number                         |

  Scenario: A change made on top of an old version
    Given version 7 is in force
    When an operator puts version 9 on top of version 5
    Then he hears that version 7 is in place
    And all balancers still serve version 7
