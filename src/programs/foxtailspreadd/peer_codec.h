#ifndef FOXTAILSPREAD_PROGRAMS_FOXTAILSPREADD_PEER_CODEC_H_
#define FOXTAILSPREAD_PROGRAMS_FOXTAILSPREADD_PEER_CODEC_H_

/// @file
/// Turns the decision library's messages into protobuf's and back.

#include <string_view>

#include "foxtailspread/peer_message.h"
#include "peer.pb.h"

namespace foxtailspread {

/// Returns the message as it goes over the wire, with the shared secret.
proto::PeerMessage Encode(const peer_message& message, std::string_view secret);

/// Returns the received message. Values out of range become harmless ones.
peer_message Decode(const proto::PeerMessage& wire);

}  // namespace foxtailspread

#endif  // FOXTAILSPREAD_PROGRAMS_FOXTAILSPREADD_PEER_CODEC_H_
