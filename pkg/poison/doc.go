// Package poison detects requests that crash targets, also called poison requests or
// queries of death. Either one part of their prompts ends each target that begins to
// answer it, whatever else the prompt holds, or one request does that comes again under
// another ID.
//
// A daemon reports each end of a target under requests that it had sent there, with their
// fingerprints and the hashes of their prompts' parts. The sum of all daemons' reports
// decides which part or request is suspect; an answer clears them. Requests with a suspect
// part are refused for a time that doubles with each further crash. A suspect request is
// refused until it is answered, which one probe in the whole fleet allows, or was not
// received in a day. A record in the store keeps that.
package poison
