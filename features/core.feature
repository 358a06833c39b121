Feature: Losing a machine of the core
  Of three control machines any one may be lost at a time: what was acknowledged stays, and orders go on.

  Background:
    Given a fleet of 3 control machines and 3 balancers
    And version 5 is in force

  Scenario Outline: The machine that leads is lost
    When the primary <is lost>
    And an operator puts version 7 on top of version 5
    Then it is acknowledged within 4 seconds
    And all balancers serve version 7 within 2 seconds

    Examples:
      | is lost                 |
      | is killed               |
      | loses power             |
      | freezes                 |
      | is cut off              |
      | has a disk that is full |
      | has a disk that hangs   |

  Scenario: The primary is told to stop
    When the primary is told to stop
    Then another leads within 0.3 seconds
    And no balancer has been without news for longer than 0.9 seconds

  Scenario: A machine comes back without its disk
    When an operator puts version 7 on top of version 5
    And the primary loses its disk and comes back without it
    And 5 seconds later any other control machine loses power
    Then reading the configuration back gives version 7 as it was sent

  Scenario: A machine is replaced by an empty one at another address
    When the primary is replaced by an empty machine at another address
    And 5 seconds later any other control machine loses power
    And an operator puts version 7 on top of version 5
    Then it is acknowledged within 4 seconds
    And all balancers serve version 7 within 2 seconds

  Scenario: All processes are killed at once right after an acknowledgement
    When an operator puts version 7 on top of version 5
    And everything is killed at once and starts again
    Then reading the configuration back gives version 7 as it was sent
    And all balancers serve version 7 within 2 seconds
