"""Generated messages between the processes; `make proto` writes them anew."""
