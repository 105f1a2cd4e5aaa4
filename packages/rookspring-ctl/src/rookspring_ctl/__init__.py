"""The command-line tool for operators of rookspring."""
