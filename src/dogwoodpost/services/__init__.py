"""Services that connect the decision core to the ports."""
