"""Command line entry point for ``python -m bulrushhold``."""

from bulrushhold import cli

if __name__ == '__main__':
    cli.main()
