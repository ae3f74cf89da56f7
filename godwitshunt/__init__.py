"""A multi-region inference gateway for small teams.

The package holds one subpackage a duty. The decision logic of each is pure
and can be embedded without the programs in `godwitshunt.programs`.
"""
