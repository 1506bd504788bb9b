"""Fake of a model engine: batching, cold start, prefix cache, orders."""

from fakes.engine._api import make_app
from fakes.engine._batch import Engine, Options
from fakes.engine._tokens import prompt_of, text_of, token

__all__ = ["Engine", "Options", "make_app", "prompt_of", "text_of", "token"]
