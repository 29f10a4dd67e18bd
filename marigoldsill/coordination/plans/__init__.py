"""Plans of operators: the predicted effects of changes, and guards against mistakes.

The package computes the changes that an operator's intent requires, predicts their
effects and detects likely mistakes.
Other packages import only the modules listed here.
"""

__all__ = [
    "operator_service",
]
