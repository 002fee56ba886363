#include "line_stream_callbacks.h"

#include <cstring>
#include <memory>

namespace cowslip::link {
namespace {

std::vector<nghttp2_nv> ToPairs(const std::vector<HeaderField>& fields) {
  std::vector<nghttp2_nv> pairs;
  for (const auto& field : fields) {
    const auto* name = reinterpret_cast<const std::uint8_t*>(field.name.data());
    const auto* value =
        reinterpret_cast<const std::uint8_t*>(field.value.data());
    // nghttp2 copies name and value, but its structure isn't const-qualified.
    pairs.push_back({const_cast<std::uint8_t*>(name),
                     const_cast<std::uint8_t*>(value), field.name.size(),
                     field.value.size(), NGHTTP2_NV_FLAG_NONE});
  }
  return pairs;
}

struct CallbacksDeleter {
  void operator()(nghttp2_session_callbacks* callbacks) const {
    nghttp2_session_callbacks_del(callbacks);
  }
};

}  // namespace

nghttp2_session* LineStream::Callbacks::MakeSession(LineStream& stream,
                                                    bool client) {
  nghttp2_session_callbacks* raw = nullptr;
  nghttp2_session_callbacks_new(&raw);
  const std::unique_ptr<nghttp2_session_callbacks, CallbacksDeleter> owner(raw);
  nghttp2_session_callbacks_set_on_header_callback(raw, &OnHeader);
  nghttp2_session_callbacks_set_on_frame_recv_callback(raw, &OnFrame);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(raw, &OnChunk);
  nghttp2_session_callbacks_set_on_stream_close_callback(raw, &OnClose);
  nghttp2_session* session = nullptr;
  if (client) {
    nghttp2_session_client_new(&session, raw, &stream);
  } else {
    nghttp2_session_server_new(&session, raw, &stream);
  }
  return session;
}

std::int32_t LineStream::Callbacks::SubmitRequest(
    LineStream& stream, std::vector<HeaderField> fields, bool with_body) {
  fields.insert(fields.begin() + 1,
                {{":scheme", "http"}, {":authority", "cowslip"}});
  const auto pairs = ToPairs(fields);
  nghttp2_data_provider body{};
  body.read_callback = &ReadBody;
  return nghttp2_submit_request(stream.session_, nullptr, pairs.data(),
                                pairs.size(), with_body ? &body : nullptr,
                                nullptr);
}

void LineStream::Callbacks::SubmitResponse(
    LineStream& stream, std::int32_t id, const std::vector<HeaderField>& fields,
    bool with_body) {
  const auto pairs = ToPairs(fields);
  nghttp2_data_provider body{};
  body.read_callback = &ReadBody;
  nghttp2_submit_response(stream.session_, id, pairs.data(), pairs.size(),
                          with_body ? &body : nullptr);
}

int LineStream::Callbacks::OnHeader(nghttp2_session*, const nghttp2_frame*,
                                    const std::uint8_t* name,
                                    std::size_t name_size,
                                    const std::uint8_t* value,
                                    std::size_t value_size, std::uint8_t,
                                    void* user) {
  const std::string key(reinterpret_cast<const char*>(name), name_size);
  From(user).headers_[key].assign(reinterpret_cast<const char*>(value),
                                  value_size);
  return 0;
}

int LineStream::Callbacks::OnFrame(nghttp2_session*, const nghttp2_frame* frame,
                                   void* user) {
  auto& stream = From(user);
  if (frame->hd.type == NGHTTP2_HEADERS) stream.OnHeaders(frame->hd.stream_id);
  if (frame->hd.type == NGHTTP2_GOAWAY) stream.ended_ = true;
  return 0;
}

int LineStream::Callbacks::OnChunk(nghttp2_session*, std::uint8_t,
                                   std::int32_t id, const std::uint8_t* data,
                                   std::size_t size, void* user) {
  auto& stream = From(user);
  if (id != stream.relay_stream_) return 0;
  stream.OnData({reinterpret_cast<const char*>(data), size});
  return 0;
}

int LineStream::Callbacks::OnClose(nghttp2_session*, std::int32_t id,
                                   std::uint32_t, void* user) {
  auto& stream = From(user);
  if (id == stream.relay_stream_) stream.ended_ = true;
  return 0;
}

ssize_t LineStream::Callbacks::ReadBody(nghttp2_session*, std::int32_t,
                                        std::uint8_t* buffer, std::size_t size,
                                        std::uint32_t*, nghttp2_data_source*,
                                        void* user) {
  const auto chunk = From(user).TakeQueued(size);
  if (chunk.empty()) return NGHTTP2_ERR_DEFERRED;
  std::memcpy(buffer, chunk.data(), chunk.size());
  return static_cast<ssize_t>(chunk.size());
}

}  // namespace cowslip::link
