// Package parser reads and checks settings in JSON with comments.
package parser
