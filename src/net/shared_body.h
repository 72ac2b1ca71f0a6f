#ifndef FOXTAILSPREAD_NET_SHARED_BODY_H_
#define FOXTAILSPREAD_NET_SHARED_BODY_H_

/// @file
/// A body in memory once, however many hold it.

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <string>
#include <string_view>
#include <utility>

#include "foxtailspread/load/held_memory.h"

namespace foxtailspread {

/// A large body that a request under way and the connection to its target both
/// need. Counted until the last of them has released it.
class shared_body
    : public boost::intrusive_ref_counter<shared_body,
                                          boost::thread_unsafe_counter> {
 public:
  shared_body(std::string bytes, held_memory* memory)
      : bytes_(std::move(bytes)),
        charge_(memory, held_kind::kRequests, bytes_.size()) {
    // One that came in chunks has grown by doubling.
    if (bytes_.capacity() > bytes_.size() + bytes_.size() / 4) {
      bytes_.shrink_to_fit();
    }
  }

  std::string_view bytes() const { return bytes_; }

 private:
  std::string bytes_;
  memory_charge charge_;
};

using body_ptr = boost::intrusive_ptr<const shared_body>;

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_NET_SHARED_BODY_H_
