Feature: TLS as a setting

  Scenario: callers and nodes use TLS if a certificate is set
    Given two nodes with a certificate
    Then they are linked
    And a caller is answered over https and not over http
    And a node without the shared key is refused

  Scenario: a certificate without its key is refused at the start
    Then settings with a certificate alone are refused, naming tls_cert, tls_key
