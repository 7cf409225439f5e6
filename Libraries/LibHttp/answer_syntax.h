// Decides which bytes are the head of an answer, for every reader of answers:
// MessageParser, which reads those of endpoints, directly and in tunnels, and
// Client, whose library is more lenient. An answer that isn't one promises
// nothing, so its reader ends at once and passes nothing of it on.
//
// The syntax is that of RFC 9112, 4 and 5, with what a client may refuse:
// folded lines, bare line feeds, and a blank before the colon, which may hide
// the framing. Statuses are those of RFC 9110, 15. 101 is none of them, since
// no request asks for another protocol.

#ifndef LIBHTTP_ANSWER_SYNTAX_H_
#define LIBHTTP_ANSWER_SYNTAX_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace wasabi::http {

// Statuses below it announce that another answer follows.
inline constexpr int kFirstFinalStatus = 200;

// Returns the status in a status line without its line end; nullopt if it is no
// status line, or the status is none.
std::optional<int> ParseStatusLine(std::string_view line);
// Returns whether `line`, without its line end, is a field of a head or a
// trailer.
bool IsFieldLine(std::string_view line);

enum class AnswerHeadState : uint8_t { kIncomplete, kComplete, kMalformed };

// Checks one head, as its bytes arrive.
class AnswerHeadChecker {
 public:
  // Checks `bytes`, which begin with the head and with the bytes of earlier
  // calls, but for those that were dropped. Bytes after the head are ignored.
  AnswerHeadState Check(std::string_view bytes);
  // Records that the first `n` bytes, all of whole lines that were checked, are
  // no longer passed to Check.
  void Drop(size_t n) { checked_bytes_ -= std::min(n, checked_bytes_); }
  // Checks the next line, with its line end. After the head, lines count as
  // those of the trailer.
  AnswerHeadState TakeLine(std::string_view line);

 private:
  bool has_status_ = false;
  AnswerHeadState state_ = AnswerHeadState::kIncomplete;
  // Bytes in lines that were checked and not dropped.
  size_t checked_bytes_ = 0;
};

}  // namespace wasabi::http

#endif  // LIBHTTP_ANSWER_SYNTAX_H_
