"""Run a direct entry with the platform's settings file."""

from mintsaddle.direct import run_settings_file
from mintsaddle.platform import settings_path

if __name__ == "__main__":
    run_settings_file(settings_path())
