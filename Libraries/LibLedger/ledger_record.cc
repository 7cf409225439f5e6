// Records of the ledger stream.
