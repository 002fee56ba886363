#pragma once

#include <nghttp2/nghttp2.h>

#include <string>
#include <utility>
#include <vector>

#include "cowslip/link/line_stream.h"

namespace cowslip::link {

/// An HTTP/2 header field.
struct HeaderField {
  std::string name;
  std::string value;
};

/// Connects a LineStream to its nghttp2 session: submits requests and
/// responses, and passes the session's events to the stream.
class LineStream::Callbacks {
 public:
  /// @return a new session whose events go to the stream, which owns it.
  static nghttp2_session* MakeSession(LineStream& stream, bool client);
  /// @param with_body whether the queued lines are sent as the body.
  /// @return the HTTP/2 stream id.
  static std::int32_t SubmitRequest(LineStream& stream,
                                    std::vector<HeaderField> fields,
                                    bool with_body);
  /// @param id the HTTP/2 stream id of the request.
  static void SubmitResponse(LineStream& stream, std::int32_t id,
                             const std::vector<HeaderField>& fields,
                             bool with_body);

 private:
  static LineStream& From(void* user) {
    return *static_cast<LineStream*>(user);
  }
  static int OnHeader(nghttp2_session* session, const nghttp2_frame* frame,
                      const std::uint8_t* name, std::size_t name_size,
                      const std::uint8_t* value, std::size_t value_size,
                      std::uint8_t flags, void* user);
  static int OnFrame(nghttp2_session* session, const nghttp2_frame* frame,
                     void* user);
  static int OnChunk(nghttp2_session* session, std::uint8_t flags,
                     std::int32_t id, const std::uint8_t* data,
                     std::size_t size, void* user);
  static int OnClose(nghttp2_session* session, std::int32_t id,
                     std::uint32_t code, void* user);
  static ssize_t ReadBody(nghttp2_session* session, std::int32_t id,
                          std::uint8_t* buffer, std::size_t size,
                          std::uint32_t* flags, nghttp2_data_source* source,
                          void* user);
};

}  // namespace cowslip::link
