// Heads that are no answer, for tests of all readers of answers.

#ifndef TESTS_SUPPORT_MALFORMED_HEADS_H_
#define TESTS_SUPPORT_MALFORMED_HEADS_H_

#include <string>
#include <vector>

namespace wasabi::support {

struct MalformedHead {
  const char* what;
  std::string text;
};

// Returns heads that would each pass for a signed success with the length
// `framing` ("Content-Length: 2", say) if one flaw were overlooked. `id` is the
// header field that names the request, without its line end.
inline std::vector<MalformedHead> MalformedHeads(const std::string& id,
                                                 const std::string& framing) {
  const std::string line = "HTTP/1.1 200 X\r\n";
  const std::string fields =
      id + "\r\nResponse-Signature: s\r\n" + framing + "\r\n";
  const auto with_line = [&](const std::string& start) {
    return start + "\r\n" + fields + "\r\n";
  };
  const auto with_field = [&](const std::string& field) {
    return line + fields + field + "\r\n\r\n";
  };
  return {
      {"status 000", with_line("HTTP/1.1 000 X")},
      {"status 001", with_line("HTTP/1.1 001 X")},
      {"status 099", with_line("HTTP/1.1 099 X")},
      {"a switch of protocols", with_line("HTTP/1.1 101 X")},
      {"status 600", with_line("HTTP/1.1 600 X")},
      {"status 999", with_line("HTTP/1.1 999 X")},
      {"two digits", with_line("HTTP/1.1 20 X")},
      {"four digits", with_line("HTTP/1.1 2000 X")},
      {"a sign in the status", with_line("HTTP/1.1 +20 X")},
      {"a control byte in the reason", with_line("HTTP/1.1 200 \x01X")},
      {"another version", with_line("HTTP/3.1 200 X")},
      {"another protocol", with_line("HTTX/1.1 200 X")},
      {"an empty line first", "\r\n" + line + fields + "\r\n"},
      {"a blank in a name", with_field("X Y: b")},
      {"a blank before the colon", with_field("X-A : b")},
      {"a tab before the colon", with_field("X-A\t: b")},
      {"a framing with a blank before the colon",
       with_field("Content-Length : 1")},
      {"a control byte in a name", with_field("X\x01Y: b")},
      {"a NUL in a name", with_field(std::string("X\0Y: b", 6))},
      {"a delete byte in a name", with_field("X\x7FY: b")},
      {"a byte over 0x7F in a name", with_field("X\xC3\xA9: b")},
      {"a separator in a name", with_field("X(Y): b")},
      {"no name", with_field(": b")},
      {"no colon", with_field("X-A b")},
      {"a control byte in a value", with_field("X-A: b\x02")},
      {"a NUL in a value", with_field(std::string("X-A: b\0c", 8))},
      {"a bare CR in a value", with_field("X-A: b\rc")},
      {"a folded line", with_field("X-A: b\r\n c")},
      {"a bare LF after a field", line + id + "\n" + fields + "\r\n"},
      {"a bare LF after the status line", "HTTP/1.1 200 X\n" + fields + "\r\n"},
  };
}

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_MALFORMED_HEADS_H_
