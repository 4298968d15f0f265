"""Runs the command line as ``python -m bulrushhold``."""

from bulrushhold import cli

if __name__ == '__main__':
    cli.main()
