"""The platform's configuration service: read and watched, never written."""

from mintsaddle.platform._client import PlatformValue, watch_value

__all__ = ["PlatformValue", "watch_value"]
