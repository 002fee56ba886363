#pragma once

#include <curl/curl.h>

#include <memory>

namespace cowslip::consul {

/// Deleter of the handle of one transfer.
struct CurlEasyDeleter {
  void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
};
/// Deleter of the handle that runs transfers.
struct CurlMultiDeleter {
  void operator()(CURLM* handle) const { curl_multi_cleanup(handle); }
};
/// Deleter of a list of headers.
struct CurlListDeleter {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

using CurlEasy = std::unique_ptr<CURL, CurlEasyDeleter>;
using CurlMulti = std::unique_ptr<CURLM, CurlMultiDeleter>;
using CurlList = std::unique_ptr<curl_slist, CurlListDeleter>;

/// Attaches an easy handle to a multi handle for the lifetime of the object.
class CurlAttachment {
 public:
  CurlAttachment(CURLM* multi, CURL* easy) : multi_(multi), easy_(easy) {
    curl_multi_add_handle(multi_, easy_);
  }
  CurlAttachment(const CurlAttachment&) = delete;
  CurlAttachment& operator=(const CurlAttachment&) = delete;
  ~CurlAttachment() { curl_multi_remove_handle(multi_, easy_); }

 private:
  CURLM* multi_;
  CURL* easy_;
};

}  // namespace cowslip::consul
