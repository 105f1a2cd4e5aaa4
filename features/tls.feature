Feature: TLS by a setting

  Scenario: callers and nodes speak TLS where a certificate is set
    Given two nodes with a certificate
    Then they hear each other
    And a caller is answered over https and not over http
    And a stranger without the shared key is not heard

  Scenario: a certificate without its key is refused at the start
    Then settings with a certificate alone name tls_cert, tls_key
