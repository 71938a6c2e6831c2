"""The demonstration: two customers, four data centres, twelve nodes."""
