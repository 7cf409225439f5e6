// The frames in which a tunnel's carrier passes on what the endpoint sends. The
// end of a connection doesn't tell whether the endpoint or the carrier ended
// it, so the endpoint's end has a frame of its own. docs/PROTOCOLS.md has the
// format.

#ifndef LIBHTTP_TUNNEL_FRAMES_H_
#define LIBHTTP_TUNNEL_FRAMES_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace wasabi::http {

// Returns the frame with `bytes` of the endpoint, at least one and fewer than
// 4 GiB.
std::string EncodeTunnelFrame(std::string_view bytes);
// Returns the frame which states that the endpoint closed its connection in an
// orderly way.
std::string EncodeTunnelEnd();

class TunnelFrameDecoder {
 public:
  // Appends what the endpoint sent in `received` to `output`, also of a frame
  // that is incomplete. Bytes after the end are ignored.
  void Feed(std::string_view received, std::string* output);
  // Whether the endpoint closed its connection in an orderly way.
  bool has_ended() const { return has_ended_; }

 private:
  // Takes the next byte of a frame's length.
  void TakeLengthByte(char byte);

  // Bytes of the current frame that are missing.
  uint32_t frame_left_ = 0;
  // What has arrived of the next frame's length, and how many bytes that is.
  uint32_t length_ = 0;
  int length_bytes_ = 0;
  bool has_ended_ = false;
};

}  // namespace wasabi::http

#endif  // LIBHTTP_TUNNEL_FRAMES_H_
