Feature: Balancers and the news
  Balancers hear what is new from one another, and serve on with what they know while the control state is away.

  Background:
    Given a fleet of 3 control machines and 6 balancers in one zone
    And version 5 is in force

  Scenario: A balancer is told to stop
    When a balancer that has requests open is told to stop
    Then it answers what it holds before it ends
    And the others hear the news as before
    And within 5 seconds nobody counts it as a member

  Scenario: The balancer from which the others hear the news is told to stop
    When the relay is told to stop
    And an operator puts version 7 on top of version 5
    Then it is acknowledged within 4 seconds
    And all balancers serve version 7 within 2 seconds

  Scenario: An upstream leaves while the control state is away
    Given all control machines are without power
    When the platform lists an upstream as draining
    Then all balancers know of it within 8 seconds
    And they have asked the platform within a quarter of its rate
