// Bounds the memory that the buffers of a process take for slow or faulty
// peers. Each connection alone may hold some hundred kilobytes; thousands of
// them at once would exceed what a host has.
//
// Load pattern: usually nearly nothing is held. Peers that send without end, or
// read slowly, fill buffers on many connections at once. While a part of the
// memory is taken, each buffer may hold little; while more is taken, new
// requests are refused too.

#ifndef LIBHTTP_BUFFER_MEMORY_H_
#define LIBHTTP_BUFFER_MEMORY_H_

#include <algorithm>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>

namespace wasabi::http {

// Gives back what an empty buffer of some size has reserved.
inline void ReleaseIfEmpty(std::string* buffer) {
  constexpr size_t kKeptBytes = 4U << 10U;
  if (buffer->empty() && buffer->capacity() > kKeptBytes) {
    std::string().swap(*buffer);
  }
}

class BufferMemory {
 public:
  // The bytes that one owner of buffers holds. Without a memory it counts
  // nothing and limits nothing. Not copyable.
  class Holding {
   public:
    explicit Holding(std::shared_ptr<BufferMemory> memory = nullptr)
        : memory_(std::move(memory)) {}
    ~Holding() { Set(0); }
    Holding(const Holding&) = delete;
    Holding& operator=(const Holding&) = delete;

    // To be called while nothing is held.
    void SetMemory(std::shared_ptr<BufferMemory> memory) {
      memory_ = std::move(memory);
    }
    void Set(size_t bytes) {
      if (memory_ != nullptr) {
        memory_->total_ += bytes;
        memory_->total_ -= std::exchange(bytes_, bytes);
      }
    }
    // Returns what a buffer may hold that may usually hold `bytes`.
    size_t Limit(size_t bytes) const {
      return memory_ == nullptr ? bytes : memory_->Limit(bytes);
    }
    bool IsExhausted() const {
      return memory_ != nullptr && memory_->IsExhausted();
    }

   private:
    std::shared_ptr<BufferMemory> memory_;
    size_t bytes_ = 0;
  };

  // `host_bytes` is what the process may take as a whole.
  explicit BufferMemory(size_t host_bytes = kDefaultHostBytes) {
    SetHostBytes(host_bytes);
  }
  void SetHostBytes(size_t host_bytes) {
    scarce_bytes_ = host_bytes / kScarceDivisor;
    exhausted_bytes_ = host_bytes / kExhaustedDivisor;
  }

  size_t total() const { return total_; }
  size_t scarce_bytes() const { return scarce_bytes_; }
  size_t exhausted_bytes() const { return exhausted_bytes_; }
  // Returns whether each buffer may hold only little.
  bool IsScarce() const { return total_ >= scarce_bytes_; }
  // Returns whether new requests have to be refused.
  bool IsExhausted() const { return total_ >= exhausted_bytes_; }
  size_t Limit(size_t bytes) const {
    if (IsExhausted()) {
      return std::min(bytes, kExhaustedLimit);
    }
    return IsScarce() ? std::min(bytes, kScarceLimit) : bytes;
  }

  // The memory of the smallest hosts.
  static constexpr size_t kDefaultHostBytes = 160U << 20U;
  // What one buffer may hold while memory is scarce, and while it is exhausted.
  static constexpr size_t kScarceLimit = 16U << 10U;
  static constexpr size_t kExhaustedLimit = 4U << 10U;

 private:
  // Views, tables, the allocator's slack and answers in the kernel's hands take
  // the rest.
  static constexpr size_t kScarceDivisor = 8;
  static constexpr size_t kExhaustedDivisor = 4;

  size_t total_ = 0;
  size_t scarce_bytes_ = 0;
  size_t exhausted_bytes_ = 0;
};

}  // namespace wasabi::http

#endif  // LIBHTTP_BUFFER_MEMORY_H_
