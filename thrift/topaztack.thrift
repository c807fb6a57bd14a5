/**
 * Messages between VMs; include/topaztack/wire/messages.hpp says what each is for.
 * Generate with: thrift --gen cpp:no_skeleton,moveable_types -out src/wire/generated thrift/topaztack.thrift
 * Fields are added, never renumbered. Unsigned 64-bit values travel as i64 with the same bits.
 */
namespace cpp topaztack.idl

struct Endpoint {
  1: string address
  2: i32 port
}

struct VmIdentity {
  1: string name
  2: i64 incarnation
}

struct MemberUpdate {
  1: VmIdentity identity
  2: string dataCentre
  3: Endpoint endpoint
  4: i32 state
  5: i64 round
  6: i64 inForce
}

struct GossipDatagram {
  1: i32 kind
  2: MemberUpdate sender
  3: i64 nonce
  4: string subject
  5: Endpoint subjectEndpoint
  6: list<MemberUpdate> updates
}

struct HttpHeader {
  1: string name
  2: string value
}

struct HttpRequest {
  1: string method
  2: string target
  3: list<HttpHeader> headers
  4: binary body
}

struct HttpResponse {
  1: i32 status
  2: list<HttpHeader> headers
  3: binary body
}

struct ForwardedCall {
  1: string id
  2: VmIdentity home
  3: HttpRequest request
  4: i64 remainingMs
}

struct DocumentFetch {
  1: i64 newerThan
}

struct StatusFetch {
}

struct MembersFetch {
}

struct PartCall {
  1: string part
  2: binary body
}

union PeerCall {
  1: ForwardedCall forwarded
  2: DocumentFetch document
  3: StatusFetch status
  4: MembersFetch members
  5: PartCall part
}

struct Failure {
  1: i32 kind
  2: string message
  3: string remedy
}

struct ForwardedAnswer {
  1: HttpResponse response
}

struct DocumentAnswer {
  1: i64 version
  2: binary text
}

struct StatusAnswer {
  1: VmIdentity identity
  2: string dataCentre
  3: i64 inForce
}

struct MembersAnswer {
  1: list<MemberUpdate> members
}

struct PartAnswer {
  1: binary body
}

union PeerAnswer {
  1: Failure failure
  2: ForwardedAnswer forwarded
  3: DocumentAnswer document
  4: StatusAnswer status
  5: MembersAnswer members
  6: PartAnswer part
}
