// Bounds the memory that the process holds for slow callers and slow endpoints.
// Each request alone may hold some hundred kilobytes; thousands of them at once
// would exceed what a host has.

#ifndef LIBFORWARDING_RELAY_MEMORY_H_
#define LIBFORWARDING_RELAY_MEMORY_H_

#include <cstddef>
#include <utility>

namespace wasabi::forwarding {

class RelayMemory {
 public:
  // Bytes that one request holds in its session. Not copyable.
  class Holding {
   public:
    explicit Holding(RelayMemory* memory) : memory_(memory) {}
    ~Holding() { Set(0); }
    Holding(const Holding&) = delete;
    Holding& operator=(const Holding&) = delete;

    void Set(size_t bytes) {
      memory_->in_sessions_ += bytes;
      memory_->in_sessions_ -= std::exchange(bytes_, bytes);
    }

   private:
    RelayMemory* const memory_;
    size_t bytes_ = 0;
  };

  // Sets the bytes in the buffers of the callers' connections.
  void SetInConnections(size_t bytes) { in_connections_ = bytes; }

  size_t total() const { return in_sessions_ + in_connections_; }
  // Returns whether requests may hold only little each.
  bool IsScarce() const { return total() >= kScarceBytes; }
  // Returns whether new requests have to be refused.
  bool IsExhausted() const { return total() >= kExhaustedBytes; }

  // A host may have 160 MB, of which views and tables take some tens.
  static constexpr size_t kScarceBytes = 32U << 20U;
  static constexpr size_t kExhaustedBytes = 64U << 20U;
  // What one request may hold while memory is scarce, for each kind of buffer.
  static constexpr size_t kScarceLimit = 16U << 10U;

 private:
  size_t in_sessions_ = 0;
  size_t in_connections_ = 0;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_RELAY_MEMORY_H_
