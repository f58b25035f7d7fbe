"""Life cycle of attempts at the entry and at the agent."""
