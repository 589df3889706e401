Feature: Settings are validated completely at start

  Scenario: A valid file
    When router settings are loaded from a valid file
    Then there are no findings

  Scenario Outline: An invalid file: <change>
    When router settings are loaded from a valid file in which <change>
    Then there is a finding "<finding>"

    Examples:
      | change                                         | finding                                        |
      | "name = r1" becomes ""                         | [vm] name: is missing                          |
      | "127.0.0.1:7001" becomes "localhost:7001"      | [vm] listen: 'localhost' does not appear to be |
      | "127.0.0.1:7001" becomes "127.0.0.1:70010"     | [vm] listen: port 70010 is not between         |
      | "attempts = 3" becomes "attempts = none"       | [routing] attempts: invalid literal            |
      | "attempts = 3" becomes "attempts = 0"          | [routing] attempts: 0 is not a positive        |
      | "attempts = 3" becomes "atempts = 3"           | [routing] atempts: is not a known key          |
      | "[routing]" becomes "[ruoting]"                | [ruoting]: is not a known section              |
      | "[platform]" becomes "platform"                | line 7: Source contains parsing errors         |
      | "policy = affinity" becomes "policy = nearest" | [routing] policy: 'nearest' is none of         |

  Scenario: All findings are reported together
    When router settings are loaded from a valid file in which "name = r1" becomes "" and "attempts = 3" becomes "attempts = x"
    Then there are 2 settings findings

  Scenario: The sample settings have no findings
    Then the sample settings in etc have no findings

  Scenario: The settings reference is up to date
    Then docs/operators/settings.md equals the output of scripts/settings_reference.py
