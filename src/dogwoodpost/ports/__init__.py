"""Abstract interfaces between the decision core and the outside."""
